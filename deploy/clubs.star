# The clubs, and the websites of theirs that come with a certificate.
CLUBS = ["circolo-etna", "circolo-conca", "circolo-aretusa"]

def website(club):
    return {
        "uri": "spiffe://trinacria.example.org/%s/website" % club,
        "club": club,
        "member": "website",
        "rights": ["read"],
    }
