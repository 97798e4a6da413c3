/**
 * Measures how the memory and the processor time of the dispatch core grow with load, for {@code docs/CAPACITY.md}.
 *
 * <p>Start reading at {@link org.mustardlink.capacity.CapacityMeasurements}.
 */
package org.mustardlink.capacity;
