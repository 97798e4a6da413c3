package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import java.lang.reflect.RecordComponent;
import java.net.InetSocketAddress;
import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.HostInfo;

/** Tests the hand-written {@code equals} and {@code hashCode} of records that serve as keys. */
final class KeyEqualityTest {
    /** Guards against a component that {@code equals} ignores: two distinct keys would share one table entry. */
    @ParameterizedTest
    @ValueSource(
            classes = {
                PoolId.class,
                TaskName.class,
                RunId.class,
                RequestId.class,
                Claim.class,
                Capacity.class,
                TargetEntry.class,
                HostInfo.class
            })
    void keys_are_equal_when_all_their_components_are(Class<? extends Record> type)
            throws ReflectiveOperationException {
        RecordComponent[] components = type.getRecordComponents();
        Object[] values = new Object[components.length];
        Arrays.setAll(values, i -> sampleValue(components[i], 1));
        Record key = newRecord(type, values);

        assertThat(newRecord(type, values)).isEqualTo(key);
        assertThat(newRecord(type, values).hashCode()).isEqualTo(key.hashCode());
        for (int i = 0; i < components.length; i++) {
            Object[] changed = values.clone();
            changed[i] = sampleValue(components[i], 2);
            assertWithMessage(components[i].getName())
                    .that(newRecord(type, changed))
                    .isNotEqualTo(key);
        }
    }

    private static Record newRecord(Class<? extends Record> type, Object... values)
            throws ReflectiveOperationException {
        Class<?>[] types = Arrays.stream(type.getRecordComponents())
                .map(RecordComponent::getType)
                .toArray(Class<?>[]::new);
        return type.getDeclaredConstructor(types).newInstance(values);
    }

    /** Returns a value for a component; different numbers give different values. */
    private static Object sampleValue(RecordComponent component, int number) {
        Class<?> type = component.getType();
        if (type == int.class) {
            // The number of a shard has to be below the count of shards.
            return component.getName().equals("shards") ? number + 10 : number;
        }
        if (type == long.class) {
            return (long) number;
        }
        if (type == String.class) {
            return "text-" + number;
        }
        if (type == TaskName.class) {
            return new TaskName("job", 0, 0, number);
        }
        if (type == boolean.class) {
            return number % 2 == 0;
        }
        if (type == Capacity.class) {
            return new Capacity(number, number, number);
        }
        if (type == InetSocketAddress.class) {
            return InetSocketAddress.createUnresolved("target", number);
        }
        if (type == ImmutableSet.class) {
            return ImmutableSet.of("label-" + number);
        }
        assertThat(type).isEqualTo(PoolId.class);
        return new PoolId("yard", "east", number, 9);
    }
}
