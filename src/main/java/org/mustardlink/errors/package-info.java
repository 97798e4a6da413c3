/** Coded errors that callers and operators see. Start reading at {@link org.mustardlink.errors.ErrorCode}. */
package org.mustardlink.errors;
