/**
 * Client of the platform's services: the append-only log and the list of hosts.
 *
 * <p>Start reading at {@link org.mustardlink.directory.LogService}.
 */
package org.mustardlink.directory;
