/**
 * HTTP client and server plumbing over Grizzly: one request at a time per connection, bounded pools, whole answers only.
 *
 * <p>Start reading at {@link org.mustardlink.http.HttpRequester}.
 */
package org.mustardlink.http;
