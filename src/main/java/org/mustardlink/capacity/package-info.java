/**
 * Measures how state and processor time grow with size, for {@code docs/CAPACITY.md}.
 *
 * <p>Start reading at {@link org.mustardlink.capacity.CapacityMeasurements}.
 */
package org.mustardlink.capacity;
