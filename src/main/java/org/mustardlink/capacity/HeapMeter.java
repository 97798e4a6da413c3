package org.mustardlink.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures the heap that an object retains, as the difference in used heap after full garbage collections. */
final class HeapMeter {
    private static final int GC_CYCLES = 3;

    private HeapMeter() {}

    /** Builds an object and returns the number of bytes that the object retains. */
    static long retainedBytes(Supplier<?> builder) {
        long before = usedBytesAfterGc();
        Object built = builder.get();
        try {
            return usedBytesAfterGc() - before;
        } finally {
            Reference.reachabilityFence(built);
        }
    }

    private static long usedBytesAfterGc() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < GC_CYCLES; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }
}
