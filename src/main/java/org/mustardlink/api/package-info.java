/**
 * HTTP for callers: sessions, jobs, lookups and cancellations.
 *
 * <p>Start reading at {@link org.mustardlink.api.CallerApi}.
 */
package org.mustardlink.api;
