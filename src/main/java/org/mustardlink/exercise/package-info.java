/**
 * Runs dispatch hosts with stand-ins of the platform in one process, for tests and the class archive of the build.
 * Start reading at {@link org.mustardlink.exercise.StandInDeployment}.
 */
package org.mustardlink.exercise;
