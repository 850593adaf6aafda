package ringspindle.config;

/** Why a setting, a configuration or serving rules are refused: what is wrong, and where. */
public sealed interface ConfigError {
    /** The error in words, for operators; the texts are part of the interface. */
    String text();

    /** A required key is not there. */
    record Missing(String key) implements ConfigError {
        @Override
        public String text() {
            return "missing: " + key;
        }
    }

    /**
     * The value of a key cannot be read as what is wanted.
     *
     * @param wanted what a value must be, for example {@code ip:port}
     */
    record InvalidValue(String key, String value, String wanted) implements ConfigError {
        @Override
        public String text() {
            return "bad value for " + key + ": '" + value + "', wanted " + wanted;
        }
    }

    /** A file or document cannot be read at all. */
    record Unreadable(String what) implements ConfigError {
        /** A document whose fields have other types than the format says. */
        static final Unreadable WRONG_FIELD = new Unreadable("a field is missing or of the wrong type");

        @Override
        public String text() {
            return "cannot be read: " + what;
        }
    }

    /** A route names a service that is not configured. */
    record UnknownService(String route, String service) implements ConfigError {
        @Override
        public String text() {
            return "route " + route + " names unknown service " + service;
        }
    }

    /** Two routes have the same host and path prefix. */
    record DuplicateRoute(String one, String other) implements ConfigError {
        @Override
        public String text() {
            return "routes " + one + " and " + other + " share host and prefix";
        }
    }

    /** The weights of a route's targets add up to zero. */
    record NoWeight(String route) implements ConfigError {
        @Override
        public String text() {
            return "the weights of route " + route + " add up to 0";
        }
    }

    /** A route has no deadline. */
    record NoDeadline(String route) implements ConfigError {
        @Override
        public String text() {
            return "deadlineMs of route " + route + " is 0";
        }
    }

    /** The revision is not newer than the one in force. */
    record OldRevision(long revision, long current) implements ConfigError {
        @Override
        public String text() {
            return "revision " + revision + " is not above " + current;
        }
    }

    /** Two items have the same name. */
    record SameName(String name) implements ConfigError {
        @Override
        public String text() {
            return "two items named " + name;
        }
    }

    /** Two tenants hold the same key, which is not told. */
    record SharedKey(String one, String other) implements ConfigError {
        @Override
        public String text() {
            return "apiKeys of tenants " + one + " and " + other + " have a key in common";
        }
    }

    /** A field that the format does not have. */
    record UnknownField(String place, String field) implements ConfigError {
        @Override
        public String text() {
            return (place.isEmpty() ? "the document" : place) + " has the unknown field " + field;
        }
    }

    /**
     * A value outside the range that is allowed.
     *
     * @param place the field, with its path in the document
     */
    record OutOfRange(String place, String value, String wanted) implements ConfigError {
        @Override
        public String text() {
            return (place.startsWith(".") ? place.substring(1) : place) + " is " + value + ", wanted " + wanted;
        }
    }

    /** A reference to a name that does not exist. */
    record UnknownName(String place, String name) implements ConfigError {
        @Override
        public String text() {
            return place + " names " + name + ", which there is not";
        }
    }

    /** A region that is not among the home regions of the route. */
    record OutsideHomes(String place, String region) implements ConfigError {
        @Override
        public String text() {
            return place + " names " + region + ", which is no home of the route";
        }
    }

    /**
     * A rule that never applies, as an earlier rule matches all of its requests.
     *
     * @param by the name of the earlier rule
     */
    record Unreachable(String place, String by) implements ConfigError {
        @Override
        public String text() {
            return place + " is never reached: rule " + by + " before it takes all of its requests";
        }
    }

    /**
     * The document is larger than the limit.
     *
     * @param most the limit in bytes
     */
    record TooLong(int bytes, int most) implements ConfigError {
        @Override
        public String text() {
            return bytes + " bytes, at most " + most;
        }
    }
}
