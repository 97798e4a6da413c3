/**
 * A randomized soak of the real program: dispatch hosts as separate processes on stand-ins of the platform, faults injected
 * from outside, and checks of what callers and targets see. Start reading at {@link org.mustardlink.soak.Soak}; the checks
 * are {@link org.mustardlink.soak.RunChecker}, {@link org.mustardlink.soak.AnswerChecker} and
 * {@link org.mustardlink.soak.ServiceChecker}.
 */
package org.mustardlink.soak;
