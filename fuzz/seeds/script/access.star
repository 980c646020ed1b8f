_names = ["etna", "conca"]
def rule(name, rights = ["read"]):
    if name == "etna":
        rights = rights + ["write"]
    return {"uri": "spiffe://a/%s/*" % name, "club": name, "member": "{rest}", "rights": rights}
access = {
    "issuer": "a", "audience": "b", "keys": "keys", "authorities": ["ca.pem"],
    "clubs": {n: "t-" + n for n in _names if n},
    "products": {"find": "read"}, "names": [rule(n) for n in _names],
}
x = [i * 2 for i in range(3) if i % 2 == 0][1:] + list({"a": 1}.keys())
for i in range(2):
    x.append("{} and {n}".format(i, n = 1.5))
