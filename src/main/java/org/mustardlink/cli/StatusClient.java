package org.mustardlink.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;

/** Reads the status documents of entry hosts from their operator addresses. */
final class StatusClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());

    static void addOperatorArgument(ArgumentParser parser) {
        parser.addArgument("--operator")
                .required(true)
                .action(Arguments.append())
                .type(new AddressArgument())
                .metavar(AddressArgument.METAVAR)
                .help("operator address of an entry host; may be given several times");
    }

    /**
     * Reads the status document of an entry host.
     *
     * @throws CodedException if the entry host cannot be reached or its response is not a status document
     */
    JsonNode status(InetSocketAddress operator) {
        HttpReply reply =
                requester.send(operator, HttpCall.get("/status", TIMEOUT)).join();
        try {
            JsonNode document = Json.mapper().readTree(reply.body());
            if (reply.status() == 200 && document != null && document.has("host")) {
                return document;
            }
        } catch (JsonProcessingException e) {
            throw notAnOperatorAddress(operator, e);
        }
        throw notAnOperatorAddress(operator, null);
    }

    @Override
    public void close() {
        requester.close();
    }

    private static CodedException notAnOperatorAddress(InetSocketAddress operator, Throwable cause) {
        String message = Addresses.format(operator) + " responds, but is not the operator address of an entry host";
        return new CodedException(ErrorCode.NO_ANSWER, message, cause);
    }
}
