/**
 * What an entry host reports of itself: metrics, log events and a status document. Nothing here changes what it does.
 *
 * <p>Start reading at {@link org.mustardlink.observe.EntryObserver}.
 */
package org.mustardlink.observe;
