/**
 * The project's own stand-ins for the platform and for targets, with faults that can be switched on; used by tests,
 * {@code demo} and {@code load}.
 */
package org.mustardlink.standin;
