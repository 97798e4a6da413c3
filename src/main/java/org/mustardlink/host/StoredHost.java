package org.mustardlink.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.mustardlink.http.Json;
import org.mustardlink.ownership.HostInfo;

/**
 * A host as it introduces itself in the store.
 *
 * @param id the host
 * @param domain its failure domain
 * @param incarnation number of its process life
 * @param address where other hosts connect
 * @param cpuMillis its processors in thousandths of a core
 */
record StoredHost(String id, String domain, long incarnation, String address, int cpuMillis) {
    static StoredHost of(HostInfo info) {
        return new StoredHost(info.id(), info.domain(), info.incarnation(), info.address(), info.cpuMillis());
    }

    HostInfo toInfo() {
        return new HostInfo(id, domain, incarnation, address, cpuMillis);
    }

    /** Writes the host as {@link #parse} reads it. */
    String toJson() {
        return Json.object(out -> {
            out.writeStringField("id", id);
            out.writeStringField("domain", domain);
            out.writeNumberField("incarnation", incarnation);
            out.writeStringField("address", address);
            out.writeNumberField("cpuMillis", cpuMillis);
        });
    }

    /** Reads a host; empty if the text is none. */
    static Optional<StoredHost> parse(String text) {
        try {
            StoredFields fields = StoredFields.of(text);
            StoredHost host = new StoredHost(
                    fields.requiredText("id"),
                    fields.requiredText("domain"),
                    fields.optionalLong("incarnation"),
                    fields.requiredText("address"),
                    fields.optionalInt("cpuMillis"));
            return fields.isValid() ? Optional.of(host) : Optional.empty();
        } catch (JsonProcessingException e) {
            // The caller logs records that it passes over.
            return Optional.empty();
        }
    }
}
