/**
 * Policies of the dispatch core, and baseline policies for comparison. They implement the functional interfaces of
 * {@link org.mustardlink.core}.
 */
package org.mustardlink.core.policy;
