/**
 * Settings of a process: an INI file, overrides from the command line and defaults, all validated before the process
 * starts.
 *
 * <p>{@link org.mustardlink.config.settings.SettingKeys} lists all keys of an entry host.
 */
package org.mustardlink.config.settings;
