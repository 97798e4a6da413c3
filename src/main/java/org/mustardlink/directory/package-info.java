/**
 * The platform's services behind interfaces: the append-only log and the lagging list of hosts.
 *
 * <p>Start reading at {@link org.mustardlink.directory.LogService}.
 */
package org.mustardlink.directory;
