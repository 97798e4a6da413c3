/**
 * The load generator: seeded open-loop arrivals against real entry hosts, reference calculations, and reports.
 *
 * <p>Start reading at {@link org.mustardlink.load.LoadRun}; {@code docs/load.md} describes the measures.
 */
package org.mustardlink.load;
