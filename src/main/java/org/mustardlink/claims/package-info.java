/**
 * Claims in the platform's log: which submission a caller's own key stands for.
 *
 * <p>Start reading at {@link org.mustardlink.claims.ClaimLog}.
 */
package org.mustardlink.claims;
