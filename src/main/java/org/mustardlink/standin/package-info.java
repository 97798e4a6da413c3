/**
 * Stand-ins for the platform and for targets that can inject faults, used by tests and by the commands {@code demo} and
 * {@code load}.
 */
package org.mustardlink.standin;
