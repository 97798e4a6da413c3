/**
 * Configuration records and the pure state machine that applies them in log order.
 *
 * <p>Rules that let hosts of neighbouring schema versions share one log:
 *
 * <ul>
 *   <li>The envelope ({@code schema, change, kind, name, base, body, entities, requires}) keeps its meaning in every
 *       version.
 *   <li>Whether a record is accepted depends on the envelope and on the rules of {@link
 *       org.mustardlink.config.records.BodyRules}, which never change for a kind once released. Every version therefore
 *       accepts the same records and gives them the same revisions.
 *   <li>What a host acts on ({@link org.mustardlink.config.records.ConfigView}) depends on its own version. A newer
 *       record whose features it does not know stays in its state unchanged, and the last body it understands stays in
 *       force.
 * </ul>
 *
 * <p>Start reading at {@link org.mustardlink.config.records.ConfigState}.
 */
package org.mustardlink.config.records;
