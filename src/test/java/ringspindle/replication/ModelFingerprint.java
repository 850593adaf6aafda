package ringspindle.replication;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import ringspindle.consensus.Connectivity;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/**
 * A 64-bit hash over all that a machine holds, found by reflection, so that no field that is added later is forgotten.
 * Left out are callbacks and method references (each belongs to a write that is hashed with the disk's queue), the source of chance (it is seeded
 * the same in every run) and what the machine was last told of its peers (it follows from the world's state).
 */
final class ModelFingerprint {
    private static final Map<Class<?>, List<Field>> FIELDS = new HashMap<>();
    /** Parts that were added, by their place: the parts of a machine know each other. Records are values and come anew. */
    private final Map<Object, Integer> added = new IdentityHashMap<>();

    private long hash = 17;

    /** {@code new ModelFingerprint().add(machine).value()}. */
    long value() {
        return hash;
    }

    ModelFingerprint add(Object value) {
        if (value == null) {
            mix(0);
        } else if (value instanceof Number number) {
            mix(number.longValue() * 31 + 1);
        } else if (value instanceof Boolean
                || value instanceof String
                || value instanceof Enum
                || value instanceof NodeId) {
            mix(value instanceof Enum<?> constant ? constant.ordinal() : value.hashCode());
        } else if (value instanceof byte[] bytes) {
            addBytes(bytes);
        } else if (value instanceof Message message) {
            addBytes(Codec.encode(message));
        } else if (value instanceof Map<?, ?> map) {
            mix(map.size());
            map.forEach((key, item) -> add(key).add(item));
        } else if (value instanceof Collection<?> items) {
            mix(items.size());
            items.forEach(this::add);
        } else {
            addFields(value);
        }
        return this;
    }

    private void addFields(Object value) {
        boolean skipped = value instanceof Runnable
                || value instanceof Random
                || value instanceof Connectivity
                || value instanceof CommandDecider;
        boolean ours = value.getClass().getName().startsWith("ringspindle.")
                && !value.getClass().isHidden();
        if (skipped || !ours) {
            return;
        }
        Integer place = value instanceof Record ? null : added.putIfAbsent(value, added.size());
        if (place != null) {
            mix(place);
            return;
        }
        // states without fields differ by their type alone
        mix(value.getClass().getName().hashCode());
        for (Field field : fields(value.getClass())) {
            try {
                add(field.get(value));
            } catch (IllegalAccessException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static List<Field> fields(Class<?> type) {
        return FIELDS.computeIfAbsent(type, k -> {
            List<Field> found = new ArrayList<>();
            for (Class<?> c = type; c != Object.class && c != null; c = c.getSuperclass()) {
                for (Field field : c.getDeclaredFields()) {
                    if (!Modifier.isStatic(field.getModifiers()) && !field.isSynthetic()) {
                        field.setAccessible(true);
                        found.add(field);
                    }
                }
            }
            return found;
        });
    }

    private void addBytes(byte[] bytes) {
        long h = bytes.length;
        for (byte b : bytes) {
            h = h * 1_099_511_628_211L + b;
        }
        mix(h);
    }

    private void mix(long value) {
        hash = ModelRandom.mix(hash, value, 3);
    }
}
