package org.mustardlink.api;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;

class OperatorApiTest {
    private final OperatorApi api = OperatorApi.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    private HttpRequester requester;

    @BeforeEach
    void start() {
        requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
    }

    @AfterEach
    void stop() {
        requester.close();
        api.close();
    }

    /** Guards against a prefix that takes precedence over a longer or exact path. */
    @Test
    void the_longest_registered_path_answers() {
        api.route("/a/", _call -> new OperatorApi.Reply(200, "text/plain", "prefix").toFuture());
        api.route("/a/b", _call -> new OperatorApi.Reply(200, "text/plain", "exact").toFuture());

        assertThat(get("/a/b").body()).isEqualTo("exact");
        assertThat(get("/a/c?x=1").body()).isEqualTo("prefix");
        assertThat(get("/none").status()).isEqualTo(404);
    }

    /** Guards against losing the error code of an exception that completes the future of a handler. */
    @Test
    void a_coded_error_is_answered_with_its_code() {
        api.route("/bad", _call -> CompletableFuture.failedFuture(new CodedException(ErrorCode.BAD_REQUEST, "why")));

        assertThat(get("/bad").status()).isEqualTo(400);
        assertThat(get("/bad").body()).contains("BAD_REQUEST");
    }

    private HttpReply get(String path) {
        return requester
                .send(api.address(), HttpCall.get(path, Duration.ofSeconds(5)))
                .join();
    }
}
