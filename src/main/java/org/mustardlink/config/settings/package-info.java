/**
 * Settings of a process: an INI file, changes from the command line and defaults, all checked before anything starts.
 *
 * <p>Start reading at {@link org.mustardlink.config.settings.SettingKeys}, the catalogue of every key.
 */
package org.mustardlink.config.settings;
