def club(name, share = 10, *, tenant = None):
    return {"name": name}
