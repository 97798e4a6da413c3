/**
 * Small stand-ins for the users' store and targets, with their faults as switches, for tests, the demo and the build's
 * class archive. They speak the same protocol as the platform. Start reading at
 * {@link org.mustardlink.platform.standin.StandInStore}.
 */
package org.mustardlink.platform.standin;
