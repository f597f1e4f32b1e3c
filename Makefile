# build, test, lint, run: what a newcomer needs
.PHONY: build test lint run clean

# deploy/balancer.toml says how the program is built and started; these two follow it.
build:
	@sh -c "$$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/balancer.toml)"

test:
	mvn -B verify

lint:
	mvn -B -q -P lint verify -DskipTests

run: build
	@sh -c "$$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)"

clean:
	mvn -q clean
