/**
 * Errors with stable codes that callers and operators can look up. Start reading at {@link
 * org.mustardlink.errors.ErrorCode}.
 */
package org.mustardlink.errors;
