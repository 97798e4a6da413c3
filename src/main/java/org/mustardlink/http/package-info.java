/**
 * HTTP client and server on top of Grizzly: one request at a time on each connection, bounded connection pools, and
 * only complete replies.
 *
 * <p>Start reading at {@link org.mustardlink.http.HttpRequester}.
 */
package org.mustardlink.http;
