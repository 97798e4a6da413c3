/**
 * Configuration records and the deterministic state machine that applies them in log order.
 *
 * <p>Rules that allow hosts of adjacent schema versions to share one log:
 *
 * <ul>
 *   <li>The fields of the envelope ({@code schema, change, kind, name, base, body, entities, requires}) have the same
 *       meaning in every version.
 *   <li>Whether a record is accepted depends on the envelope and on the rules of {@link
 *       org.mustardlink.config.records.BodyRules}, which never change for a kind once released. Every version therefore
 *       accepts the same records and assigns the same revisions.
 *   <li>The bodies that a host acts on ({@link org.mustardlink.config.records.ConfigView}) depend on its version. A host
 *       keeps a newer record with unknown features unchanged in its state, and the last body that it supports stays in
 *       force.
 * </ul>
 *
 * <p>The main class is {@link org.mustardlink.config.records.ConfigState}.
 */
package org.mustardlink.config.records;
