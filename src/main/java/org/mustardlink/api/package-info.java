/**
 * HTTP servers of an entry host: sessions, jobs, lookups and cancellations for callers; configuration and targets for
 * operators.
 *
 * <p>Start reading at {@link org.mustardlink.api.CallerApi} and {@link org.mustardlink.api.OperatorApi}.
 */
package org.mustardlink.api;
