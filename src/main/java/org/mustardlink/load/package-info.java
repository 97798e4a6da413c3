/**
 * The load generator. It submits a seeded open-loop workload to real entry hosts, compares the response times with
 * reference calculations, and prints reports.
 *
 * <p>The entry point is {@link org.mustardlink.load.LoadRun}; {@code docs/load.md} describes the reported figures.
 */
package org.mustardlink.load;
