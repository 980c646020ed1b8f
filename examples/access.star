# An operator's file for examples/config.json: searches need a token.
access = {
    "issuer": "ivyrill",
    "audience": "ivyrill",
    "clubs": {"circolo-etna": "circolo-etna"},
    "products": {"find": "read"},
    "keys": "keys",
    "revocations": "keys/revocations.json",
}
