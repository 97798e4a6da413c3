/** The HTTP client of callers. Start reading at {@link org.mustardlink.caller.CallerClient}. */
package org.mustardlink.caller;
