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
 * Reads one JSON object of a document strictly. What is wrong is added to the errors of the whole document, with its path,
 * and the default is returned, so that reading goes on and finds all errors.
 */
public final class JsonFields {
    private final JsonObject object;
    private final String path;
    private final List<ConfigError> errors;

    /**
     * Fields of an object.
     *
     * @param path where the object is in the document, empty for the document itself
     * @param errors where errors go
     */
    public JsonFields(JsonObject object, String path, List<ConfigError> errors) {
        this.object = object;
        this.path = path;
        this.errors = errors;
    }

    /** The object itself. */
    public JsonObject source() {
        return object;
    }

    String path() {
        return path;
    }

    /** True if the key is there. */
    public boolean has(String key) {
        return object.containsKey(key);
    }

    /** The value as it stands; null if there is none. */
    JsonValue value(String key) {
        return object.get(key);
    }

    /** Every field that is not among these is an error. */
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

    /** The fields of an object; those of an empty one if there is none. */
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

    /** The values of a list; none if there is no list. */
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

    /** A text; empty if there is none. */
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

    /** A whole number within bounds, both included. */
    public int integer(String key, int min, int max, int defaultValue) {
        return (int) integer(key, min, max, (long) defaultValue);
    }

    /** A whole number within bounds, both included. */
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

    /** A number within bounds, both included. */
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
