package org.mustardlink.peer;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.mustardlink.membership.ExchangeHandler;
import org.mustardlink.peer.thrift.CheckOutcome;
import org.mustardlink.peer.thrift.Exchange;
import org.mustardlink.peer.thrift.ExchangeFrame;

/** Serves membership exchanges and checks of other entry hosts over Thrift. */
class ExchangeService implements Exchange.AsyncIface {
    private final ExchangeHandler handler;

    ExchangeService(ExchangeHandler handler) {
        this.handler = handler;
    }

    @Override
    public void exchange(ExchangeFrame frame, AsyncMethodCallback<ExchangeFrame> callback) {
        try {
            answer(handler.exchange(ExchangeFrames.fromThrift(frame)), ExchangeFrames::toThrift, callback);
        } catch (IllegalArgumentException e) {
            callback.onError(new TException("malformed exchange: " + e.getMessage()));
        }
    }

    @Override
    public void check(String host, long incarnation, String peer, AsyncMethodCallback<CheckOutcome> callback) {
        answer(handler.check(host, incarnation, peer), ExchangeFrames::toThrift, callback);
    }

    private static <T, R> void answer(
            CompletableFuture<T> future, Function<T, R> converter, AsyncMethodCallback<R> callback) {
        CompletableFuture<T> _unused = future.whenComplete((value, failure) -> {
            if (failure == null) {
                callback.onComplete(converter.apply(value));
            } else {
                callback.onError(new TException("the membership did not answer"));
            }
        });
    }
}
