package ringspindle.conf;

/** Why a setting or a configuration is refused. */
public sealed interface Problem {
    /** Names the problem for a person; {@code new Problem.Missing("node.zone").text()}. */
    String text();

    record Missing(String key) implements Problem {
        @Override
        public String text() {
            return "missing: " + key;
        }
    }

    record Bad(String key, String value, String wanted) implements Problem {
        @Override
        public String text() {
            return "bad value for " + key + ": '" + value + "', wanted " + wanted;
        }
    }

    record Unreadable(String what) implements Problem {
        @Override
        public String text() {
            return "cannot be read: " + what;
        }
    }

    record UnknownService(String mapping, String service) implements Problem {
        @Override
        public String text() {
            return "route " + mapping + " names unknown service " + service;
        }
    }

    record SamePlace(String one, String other) implements Problem {
        @Override
        public String text() {
            return "routes " + one + " and " + other + " share host and prefix";
        }
    }

    record NoWeight(String mapping) implements Problem {
        @Override
        public String text() {
            return "the weights of route " + mapping + " add up to 0";
        }
    }

    record NoDeadline(String mapping) implements Problem {
        @Override
        public String text() {
            return "deadlineMs of route " + mapping + " is 0";
        }
    }

    record OldRevision(long revision, long current) implements Problem {
        @Override
        public String text() {
            return "revision " + revision + " is not above " + current;
        }
    }

    record SameName(String name) implements Problem {
        @Override
        public String text() {
            return "two items named " + name;
        }
    }

    record UnknownField(String place, String field) implements Problem {
        @Override
        public String text() {
            return (place.isEmpty() ? "the document" : place) + " has the unknown field " + field;
        }
    }

    record OutOfRange(String place, String value, String wanted) implements Problem {
        @Override
        public String text() {
            return (place.startsWith(".") ? place.substring(1) : place) + " is " + value + ", wanted " + wanted;
        }
    }

    record UnknownName(String place, String name) implements Problem {
        @Override
        public String text() {
            return place + " names " + name + ", which there is not";
        }
    }

    record OutsideHomes(String place, String region) implements Problem {
        @Override
        public String text() {
            return place + " names " + region + ", which is no home of the route";
        }
    }

    record Unreachable(String place, String by) implements Problem {
        @Override
        public String text() {
            return place + " is never reached: rule " + by + " before it takes all of its requests";
        }
    }

    record TooLong(int bytes, int most) implements Problem {
        @Override
        public String text() {
            return bytes + " bytes, at most " + most;
        }
    }
}
