package org.mustardlink.config;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.ini4j.Ini;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Addresses;

/**
 * Settings of an entry host.
 *
 * @param id id of the host, unique in the deployment
 * @param domain its failure domain
 * @param caller address for callers
 * @param peer address for other entry hosts
 * @param platform address of the platform
 */
public record EntrySettings(
        String id, String domain, InetSocketAddress caller, InetSocketAddress peer, InetSocketAddress platform) {
    /**
     * Reads an INI file.
     *
     * @throws CodedException with {@link ErrorCode#BAD_SETTINGS} if a key is missing or malformed
     */
    public static EntrySettings load(File file) {
        try {
            Ini ini = new Ini(file);
            return new EntrySettings(
                    text(ini, "host", "id"),
                    text(ini, "host", "domain"),
                    Addresses.parse(text(ini, "caller", "address")),
                    Addresses.parse(text(ini, "peer", "address")),
                    Addresses.parse(text(ini, "platform", "address")));
        } catch (IOException | IllegalArgumentException e) {
            throw new CodedException(ErrorCode.BAD_SETTINGS, "cannot read " + file + ": " + e.getMessage(), e);
        }
    }

    private static String text(Ini ini, String section, String key) {
        return Optional.ofNullable(ini.get(section, key))
                .orElseThrow(() ->
                        new CodedException(ErrorCode.BAD_SETTINGS, "section [" + section + "] lacks the key " + key));
    }
}
