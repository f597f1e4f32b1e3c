# build, test, lint, run: what a newcomer needs
.PHONY: build test lint run clean

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

lint:
	mvn -B -q -P lint verify -DskipTests

run: build
	java -XX:+UseSerialGC -Xmx64m -jar target/hookweir.jar serve

clean:
	mvn -q clean
