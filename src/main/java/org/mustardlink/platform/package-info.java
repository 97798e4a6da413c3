/**
 * Speaks with the users' platform: its store, its targets, and the job documents of its callers.
 *
 * <p>Names and formats of the platform appear here and in {@code deploy/} only. They are decoded once, into types whose
 * fields say what they hold; nothing here decides anything. Start reading at {@link org.mustardlink.platform.PlatformProtocol}.
 */
package org.mustardlink.platform;
