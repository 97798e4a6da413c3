/**
 * Claims in the platform's log, which map the keys that callers generate to submissions.
 *
 * <p>Start reading at {@link org.mustardlink.claims.ClaimLog}.
 */
package org.mustardlink.claims;
