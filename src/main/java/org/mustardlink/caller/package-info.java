/** The caller's side of the protocol. Start reading at {@link org.mustardlink.caller.CallerClient}. */
package org.mustardlink.caller;
