/**
 * In-process stand-ins for the store and the targets of the users' platform, with switchable failure modes. They
 * implement the platform's protocol and are used by tests, the demo, and the run that records the build's class
 * archive. Start reading at {@link org.mustardlink.platform.standin.StandInStore}.
 */
package org.mustardlink.platform.standin;
