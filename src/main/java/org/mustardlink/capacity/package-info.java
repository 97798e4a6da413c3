/**
 * Measures how state and processor time grow with size, for {@code docs/CAPACITY.md}.
 *
 * <p>Start reading at {@link org.mustardlink.capacity.CapacityProbes}.
 */
package org.mustardlink.capacity;
