/** Settings of processes and configuration records of operators. Start at {@link org.mustardlink.config.ConfigFeed}. */
package org.mustardlink.config;
