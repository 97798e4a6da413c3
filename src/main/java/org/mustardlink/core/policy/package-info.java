/**
 * Policies of the dispatch core and the baselines that they are measured against, behind the functional interfaces of
 * {@link org.mustardlink.core}.
 */
package org.mustardlink.core.policy;
