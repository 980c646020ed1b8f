# The operator's file: ivyrill serve --operator deploy/ivyrill.star
# Evaluated and checked by: ivyrill check-config --operator deploy/ivyrill.star
load("clubs.star", "CLUBS", "website")

access = {
    "issuer": "ivyrill",
    "audience": "ivyrill",
    "clubs": {club: club for club in CLUBS},  # to the tenant that bears the share
    "products": {
        "position-find": "read",
        "rating-table": "read",
        "game-annotate": "write_own",
    },
    "keys": "keys",
    "revocations": "keys/revocations.json",
    "plain_port": "guarded",
    # With certificates: "authorities": ["ca.pem"], "crls": ["ca.crl"],
    # "names": [website(club) for club in CLUBS],
}

# A further listener, where the installation has one:
# listeners = [{
#     "name": "members", "address": "127.0.0.1:8443", "certificate": "server.pem", "key": "server.key",
#     "client_certificates": "optional",
# }]

audit = {"lines_a_second": 20}
