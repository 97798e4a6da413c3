/**
 * Adapter to the users' platform: its store, its targets, and the job documents of its callers.
 *
 * <p>The platform's names and formats are used only here and in {@code deploy/}. They are decoded once,
 * into types with the project's own terms; this package takes no scheduling decisions. Start reading at
 * {@link org.mustardlink.platform.PlatformProtocol}.
 */
package org.mustardlink.platform;
