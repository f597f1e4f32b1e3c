package hookweir.net.discovery;

import hookweir.config.ConfigReader;
import java.util.HashMap;
import java.util.Map;

/** Numbers names by their position in the settings; a name that is not there gets the next free number. */
final class NameNumbers {
    private final Map<String, Integer> numbers = new HashMap<>();

    NameNumbers(String[] names) {
        for (String name : names) {
            numbers.putIfAbsent(name, numbers.size());
        }
    }

    int numberOf(String name) {
        return numbers.computeIfAbsent(ConfigReader.toWireToken(name), k -> numbers.size());
    }
}
