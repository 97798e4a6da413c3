/**
 * A randomized fault-injection soak test of the real program. Dispatch hosts run as separate processes against
 * stand-ins of the platform, faults are injected from outside, and the answers to callers and the runs on targets are
 * checked. The entry point is {@link org.mustardlink.soak.Soak}; the checks are {@link
 * org.mustardlink.soak.RunChecker}, {@link org.mustardlink.soak.AnswerChecker} and {@link
 * org.mustardlink.soak.ServiceChecker}.
 */
package org.mustardlink.soak;
