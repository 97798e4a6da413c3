/**
 * Runs whole dispatch hosts on stand-ins of the platform in one process, for tests and the build's class archive. Start
 * reading at {@link org.mustardlink.exercise.StandInDeployment}.
 */
package org.mustardlink.exercise;
