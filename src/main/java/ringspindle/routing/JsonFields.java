package ringspindle.routing;

import jakarta.json.JsonArray;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.math.BigDecimal;
import java.util.List;
import ringspindle.config.ConfigError;

/**
 * Reads the fields of one JSON object with strict validation. Each error is added, with its path, to the error list of
 * the whole document and the default is returned, so that one pass finds all errors.
 */
public final class JsonFields {
    private final JsonObject object;
    private final String path;
    private final List<ConfigError> errors;

    /**
     * Creates a reader for an object.
     *
     * @param path path of the object in the document, empty for the root
     * @param errors list to which errors are added
     */
    public JsonFields(JsonObject object, String path, List<ConfigError> errors) {
        this.object = object;
        this.path = path;
        this.errors = errors;
    }

    /** Returns the underlying object. */
    public JsonObject source() {
        return object;
    }

    String path() {
        return path;
    }

    /** Returns whether the key is present. */
    public boolean has(String key) {
        return object.containsKey(key);
    }

    /** Returns the raw value, null if absent. */
    JsonValue value(String key) {
        return object.get(key);
    }

    /** Adds an error for each field that is not a known one. */
    public void rejectUnknown(String... known) {
        List<String> knownKeys = List.of(known);
        for (String key : object.keySet()) {
            if (!knownKeys.contains(key)) {
                errors.add(new ConfigError.UnknownField(path, key));
            }
        }
    }

    void outOfRange(String key, String value, String expected) {
        errors.add(new ConfigError.OutOfRange(path + "." + key, value, expected));
    }

    /** Returns a reader for a nested object, of an empty object if absent or invalid. */
    public JsonFields object(String key) {
        String childPath = path.isEmpty() ? key : path + "." + key;
        JsonValue value = object.get(key);
        if (value instanceof JsonObject child) {
            return new JsonFields(child, childPath, errors);
        }
        if (value != null) {
            outOfRange(key, value.toString(), "an object");
        }
        return new JsonFields(JsonValue.EMPTY_JSON_OBJECT, childPath, errors);
    }

    /** Returns the values of an array, empty if absent or invalid. */
    public List<JsonValue> array(String key) {
        JsonValue value = object.get(key);
        if (value instanceof JsonArray list) {
            return list;
        }
        if (value != null) {
            outOfRange(key, value.toString(), "a list");
        }
        return List.of();
    }

    /** Returns a string, empty if absent or invalid. */
    public String text(String key) {
        JsonValue value = object.get(key);
        if (value instanceof JsonString text) {
            return text.getString();
        }
        if (value != null) {
            outOfRange(key, value.toString(), "a text");
        }
        return "";
    }

    /** Returns an integer within the inclusive bounds, the default if absent or invalid. */
    public int integer(String key, int min, int max, int defaultValue) {
        return (int) integer(key, min, max, (long) defaultValue);
    }

    /** Returns an integer within the inclusive bounds, the default if absent or invalid. */
    public long integer(String key, long min, long max, long defaultValue) {
        JsonValue value = object.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof JsonNumber number && isWithin(number, min, max)) {
            return number.longValue();
        }
        outOfRange(key, value.toString(), "a whole number from " + min + " to " + max);
        return defaultValue;
    }

    private static boolean isWithin(JsonNumber number, long min, long max) {
        return number.isIntegral()
                && number.bigDecimalValue().abs().compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) < 0
                && number.longValue() >= min
                && number.longValue() <= max;
    }

    /** Returns a number within the inclusive bounds, the default if absent or invalid. */
    public double decimal(String key, double min, double max, double defaultValue) {
        JsonValue value = object.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof JsonNumber number && number.doubleValue() >= min && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        outOfRange(key, value.toString(), "a number from " + min + " to " + max);
        return defaultValue;
    }
}
