package org.mustardlink.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.Json;
import org.mustardlink.ownership.HostInfo;

/**
 * A host as it registers itself in the store.
 *
 * @param id id of the host
 * @param domain failure domain of the host
 * @param incarnation number of the current run of the host's process
 * @param address address to which other hosts connect
 * @param cpuMillis processors of the host in thousandths of a core
 */
record StoredHost(String id, String domain, long incarnation, String address, int cpuMillis) {
    static StoredHost of(HostInfo info) {
        return new StoredHost(info.id(), info.domain(), info.incarnation(), info.address(), info.cpuMillis());
    }

    HostInfo toInfo() {
        return new HostInfo(id, domain, incarnation, address, cpuMillis);
    }

    /** Returns the host as JSON, in the form that {@link #parse} reads. */
    String toJson() {
        return Json.writeObject(out -> {
            out.writeStringField("id", id);
            out.writeStringField("domain", domain);
            out.writeNumberField("incarnation", incarnation);
            out.writeStringField("address", address);
            out.writeNumberField("cpuMillis", cpuMillis);
        });
    }

    /** Parses a host; returns empty if the text is not a valid host. */
    static Optional<StoredHost> parse(String text) {
        try {
            StoredFields fields = StoredFields.of(text);
            StoredHost host = new StoredHost(
                    fields.requiredText("id"),
                    fields.requiredText("domain"),
                    fields.optionalLong("incarnation"),
                    fields.requiredText("address"),
                    fields.optionalInt("cpuMillis"));
            return fields.isValid() && isAddress(host.address()) ? Optional.of(host) : Optional.empty();
        } catch (JsonProcessingException e) {
            // The caller logs the rejected record.
            return Optional.empty();
        }
    }

    private static boolean isAddress(String text) {
        try {
            return Addresses.parse(text).getPort() > 0;
        } catch (IllegalArgumentException e) {
            // The caller logs the rejected record.
            return false;
        }
    }
}
