package org.mustardlink.http;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Parses and formats addresses of the form {@code ip:port}. Host names are rejected, never resolved. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException if the text is not {@code ip:port}
     */
    public static InetSocketAddress parse(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        checkArgument(
                parsed.hasPort() && InetAddresses.isInetAddress(parsed.getHost()),
                "not an address of the form ip:port: %s",
                text);
        return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
    }

    /** Formats an address as {@code ip:port}. */
    public static String format(InetSocketAddress address) {
        return HostAndPort.fromParts(InetAddresses.toAddrString(address.getAddress()), address.getPort())
                .toString();
    }
}
